"""Runs the command line with ``python -m toucanfold``."""

from toucanfold import cmdline

if __name__ == "__main__":
    cmdline.run()

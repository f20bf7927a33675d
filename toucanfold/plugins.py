"""Imports every module that registers plug-ins.

A control instance checks the names in a profile against the registry, so each process
that reads profiles needs the complete registry, not only the modules it uses itself.
"""

from toucanfold import admission, balancers, limiter, limits

MODULES = (admission, balancers, limiter, limits)

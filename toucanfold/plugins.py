"""Imports every module that registers plug-ins.

A control instance checks the names in a profile against the registry, so each process
that reads profiles needs the whole registry and not only what it happens to import.
"""

from toucanfold import admission, balancers, limiter, limits

MODULES = (admission, balancers, limiter, limits)

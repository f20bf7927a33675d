"""Translates between the users' platform and the product; it decides nothing."""

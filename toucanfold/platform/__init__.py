"""Adapter between the users' platform and the product; it makes no decisions."""

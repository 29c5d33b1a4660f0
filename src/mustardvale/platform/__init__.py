"""Translate between the platform's messages and the types of the product.

This package holds names, formats and calls of the platform. It decides nothing.
"""

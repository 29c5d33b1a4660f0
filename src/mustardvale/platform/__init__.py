"""Encode and decode the messages of the platform.

This package holds the platform's names, formats and calls. Decisions are made
elsewhere.
"""

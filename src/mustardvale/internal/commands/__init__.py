"""Decide what the command-line tool does."""

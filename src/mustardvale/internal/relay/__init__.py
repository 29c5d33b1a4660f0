"""Relay requests from callers to model runners and plain services."""

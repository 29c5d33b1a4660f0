"""Provide stand-ins (test doubles) for the platform and the upstreams.

Tests and benchmarks use them; the product does not import this package.
"""

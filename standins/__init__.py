"""Stand in for the platform and the upstreams in trials and tests.

Nothing here is part of the product.
"""

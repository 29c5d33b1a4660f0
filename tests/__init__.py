"""Test the project."""

import hypothesis

# Every run tries the same examples, and the load of the machine does not affect
# the result.
hypothesis.settings.register_profile(
    'repeatable',
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=(hypothesis.HealthCheck.too_slow,),
)
hypothesis.settings.load_profile('repeatable')

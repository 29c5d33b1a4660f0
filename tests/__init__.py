"""Guard what the project promises."""

import hypothesis

# The same examples in every run, and no verdict that depends on how busy the
# machine is.
hypothesis.settings.register_profile(
    'repeatable',
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=(hypothesis.HealthCheck.too_slow,),
)
hypothesis.settings.load_profile('repeatable')

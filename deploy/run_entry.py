"""Start an entry instance with the packages that build.sh installed."""

import signal

# The loop installs its own handler. Until then the signal would end the process,
# and the settings are read after the imports anyway.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from mustardvale import relay_daemon  # noqa: E402

relay_daemon.main()

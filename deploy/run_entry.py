"""Start an entry instance with the packages that build.sh installed."""

from mustardvale import relay_daemon

relay_daemon.main()

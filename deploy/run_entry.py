"""Start an entry instance from the packages of the build."""

from mustardvale import relay_daemon

relay_daemon.main()

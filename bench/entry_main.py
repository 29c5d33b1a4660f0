"""Run an entry instance from the source of this checkout."""

from mustardvale import daemon

if __name__ == '__main__':
    daemon.main()

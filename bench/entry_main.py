"""Run an entry instance as a module of this checkout."""

from mustardvale import daemon

if __name__ == '__main__':
    daemon.main()

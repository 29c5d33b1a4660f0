"""Run the stand-in of the platform's store."""

import fire

from standins import platform_store, platform_store_codec, processes


def serve(address: str) -> None:
    """Serve the store at `host:port`."""
    processes.run(
        'store',
        address,
        platform_store.reduce_dated,
        platform_store.State(),
        platform_store_codec,
    )


if __name__ == '__main__':
    fire.Fire(serve)

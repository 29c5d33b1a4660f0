"""Run the stand-in of the instance list."""

import fire

from standins import instance_list, list_codec, processes


def serve(address: str, lag_seconds: float = 0) -> None:
    """Serve the list at `host:port`; readers see changes after the lag."""
    faults = instance_list.Faults(lag_seconds=float(lag_seconds))
    state = instance_list.State(faults)
    processes.run('list', address, instance_list.reduce, state, list_codec)


if __name__ == '__main__':
    fire.Fire(serve)

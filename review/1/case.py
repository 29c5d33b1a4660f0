"""Send a request again and again that crashes each runner that runs it."""

import asyncio
import collections
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'common'))

import model_runner  # noqa: E402
import small_site as sites  # noqa: E402

ZONES = ('astana-a', 'astana-b', 'astana-c')
RUNNERS_PER_ZONE = 2
HARMFUL_BODY = b'a question that crashes runners'
SOUND_BODY = b'a sound question'
SENDING_SECONDS = 30.0
HARMFUL_PERIOD_SECONDS = 1.5
SOUND_PERIOD_SECONDS = 0.05
# Each of the portal's three kinds of model requests has a first part of its own
# that all prompts of the kind share. The harmful request is of the first kind.
SHARED_PART_COUNT = 3
ALLOWED_RETRIES = 3
DEADLINE_MS = 20_000
LAYERS_TIMEOUT_SECONDS = 20.0


async def play(folder: pathlib.Path, has_trouble: bool) -> bool:
    """Return whether the harmful request reached runners too often."""
    site = sites.Site(folder)
    models: list[model_runner.ModelRunner] = []
    try:
        await site.write_configuration(
            [sites.build_streaming_route('answer', 'assistant-llm')],
            model_runner.build_engine(),
        )
        host = sites.choose_host()
        for number in range(len(ZONES) * RUNNERS_PER_ZONE):
            zone = ZONES[number % len(ZONES)]
            models.append(
                model_runner.ModelRunner(
                    f'i-{number}',
                    'assistant-llm',
                    zone,
                    site.store,
                    site.record,
                    slots=96,
                )
            )
            if has_trouble:
                models[-1].harmful_body = HARMFUL_BODY
            await models[-1].start(host)
        for number, zone in enumerate(ZONES):
            entry = await site.add_entry(f'entry-{number}', zone)
            await site.start_entry(entry)
        await wait_for_layers(models)
        await asyncio.sleep(sites.CONTACT_SECONDS)
        harmful, sound = await asyncio.gather(
            send_harmful(site), send_sound(site)
        )
        return judge(site, harmful, sound)
    finally:
        for runner in models:
            runner.end()
        site.end()


async def wait_for_layers(models: list[model_runner.ModelRunner]) -> None:
    """Wait until all runners hold all layers."""
    whole = (0, model_runner.LAYER_COUNT)
    for _ in range(round(LAYERS_TIMEOUT_SECONDS / 0.1)):
        if all(runner.layers == whole for runner in models):
            return
        await asyncio.sleep(0.1)
    raise sites.CannotRun('the layers were not placed')


async def send_harmful(site: sites.Site) -> set[str]:
    """Send the same request at one instance after the other.

    Returns the ids of its attempts.
    """
    requests, ids = [], set()
    for number in range(round(SENDING_SECONDS / HARMFUL_PERIOD_SECONDS)):
        entry = site.entries[number % len(site.entries)]
        requests.append(send(entry, HARMFUL_BODY, 0, 'dead', site))
        await asyncio.sleep(0)
        ids.add(f'q{site.request_count:06d}')
        await asyncio.sleep(HARMFUL_PERIOD_SECONDS)
    await asyncio.gather(*requests)
    return ids


async def send_sound(site: sites.Site) -> int:
    """Send sound requests at all instances; return how many."""
    requests = []
    for number in range(round(SENDING_SECONDS / SOUND_PERIOD_SECONDS)):
        entry = site.entries[number % len(site.entries)]
        shared = number % SHARED_PART_COUNT
        requests.append(send(entry, SOUND_BODY, shared, f'{number:x}', site))
        await asyncio.sleep(SOUND_PERIOD_SECONDS)
    await asyncio.gather(*requests)
    return len(requests)


def send(
    entry: sites.Entry, body: bytes, shared: int, own: str, site: sites.Site
) -> asyncio.Future:
    """Send a model request whose prompt has a shared part and its own."""
    prompt = {
        'Model': 'm0',
        'Token-Count': '800,172',
        'Prompt-Prefix': f'5a{shared:02x}:40,{own}:760',
    }
    return asyncio.ensure_future(
        site.send(entry, 'POST', '/answer/1', DEADLINE_MS, body, prompt)
    )


def judge(site: sites.Site, harmful_ids: set[str], sound_count: int) -> bool:
    """Count the retries that reached runners after the bound."""
    lines = site.recorder.lines
    crashes = [line for line in lines if line['event'] == 'crashed']
    late_ids: set[str] = set()
    if len(crashes) >= ALLOWED_RETRIES:
        bound = crashes[ALLOWED_RETRIES - 1]['at'] + sites.CONTACT_SECONDS
        late_ids = {
            line['id']
            for line in lines
            if line['event'] == 'arrived'
            and line['id'] in harmful_ids
            and line['at'] > bound
        }
    outcomes = collections.Counter(
        str(line['status'])
        for line in lines
        if line['event'] == 'answered' and line['id'] not in harmful_ids
    )
    site.recorder.say(
        f'{len(harmful_ids)} attempts of the harmful request,'
        f' {len(crashes)} crashes; it reached runners in {len(late_ids)}'
        f' retries later than {sites.CONTACT_SECONDS} s after the third crash'
    )
    site.recorder.say(
        f'{sound_count} sound streams: {outcomes["200"]} whole,'
        f' {outcomes["none"]} cut, {outcomes["502"]} lost before an event (502),'
        f' {outcomes["503"]} refused (503)'
    )
    is_broken = len(late_ids) > ALLOWED_RETRIES
    site.recorder.say('BUDGET is broken' if is_broken else 'BUDGET holds')
    return is_broken


if __name__ == '__main__':
    sites.run_case(play, __file__)

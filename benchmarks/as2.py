"""Measures the cost and the robustness of AS2: `python -m benchmarks.as2 rate | beside | seeds | fuzz`.

`rate`: messages per second that one core seals and unseals in each format, and the share of `cryptography` in
the time.
`beside`: the longest stalls of an event loop with messages of 64 KiB, and the latency of HTTP messages
through a gateway that handles AS2 messages at the same time.
`seeds`: simulated AS2 runs with faults (`emberlatch.faults.as2`), one per seed, and the rules they broke.
`fuzz`: hostile inputs to every parser; prints the slowest input and the memory.
"""

from __future__ import annotations

import argparse
import asyncio
import cProfile
import itertools
import os
import pstats
import resource
import sys
import tempfile
import time
import tracemalloc
from collections import Counter
from collections.abc import Awaitable, Callable
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

from emberlatch.as2 import lab, mdn, mime
from emberlatch.as2.build import build_parties
from emberlatch.as2.certificates import Identity, Trust
from emberlatch.as2.crypto_service import CryptoService, InlineCryptoService
from emberlatch.as2.crypto_worker import CryptoWorker
from emberlatch.as2.message import AcceptancePolicy, Layers, seal, unseal
from emberlatch.as2.profile import OwnParty
from emberlatch.config.as2 import As2, As2Partner

SIZES = (256, 4 * 1024, 64 * 1024)
FORMATS = {
    "signed": Layers("sha256", ""),
    "signed, AES-256-CBC": Layers("sha256", "aes256_cbc"),
    "signed, AES-256-GCM": Layers("sha256", "aes256_gcm"),
    "compressed, signed, AES-256-CBC": Layers("sha256", "aes256_cbc", True),
}


def _party(name: str) -> tuple[Identity, Trust]:
    certificate, key = lab.new_certificate(name, 30)
    return Identity(((certificate, key),)), Trust((certificate,))


def _content(size: int) -> bytes:
    body = (b"UNB+UNOC:3+OFFICE+BANK+261201:0900+%06d'\r\n" % size) * (size // 40 + 1)
    return mime.compose((("Content-Type", "application/edifact"),), body[:size])


def _rate_per_s(work: Callable[[], Any], seconds: float) -> float:
    count, started_at = 0, time.process_time()
    while (took_s := time.process_time() - started_at) < seconds:
        work()
        count += 1
    return count / took_s


def _crypto_share(work: Callable[[], Any]) -> float:
    """Return the share of the time that is spent in the compiled part of `cryptography`."""
    profile = cProfile.Profile()
    profile.enable()
    for _ in range(50):
        work()
    profile.disable()
    stats: Any = pstats.Stats(profile)
    own = {key: value[2] for key, value in stats.stats.items()}
    inside = sum(took_s for (file, _, name), took_s in own.items() if file == "~" and _compiled(name))
    return float(inside / sum(own.values()))


def _compiled(name: str) -> bool:
    function_names = (
        "rust",
        "openssl",
        "hash",
        "sign",
        "verify",
        "decrypt",
        "encrypt",
        "finalize",
        "update",
        "RSA",
    )
    return any(fragment in name for fragment in function_names)


def rate(options: argparse.Namespace) -> None:
    """Print the messages per second of each format and content size."""
    us, us_trust = _party("us")
    bank, bank_trust = _party("bank")
    now = time.time()
    print(
        f"{'content':>8}  {'layers':34}  {'out/s':>7}  {'in/s':>7}  {'receipt/s':>9}  {'crypto out':>10}  in"
    )
    for size in SIZES:
        content = _content(size)
        for name, layers in FORMATS.items():
            sealed = seal(content, layers, us, bank_trust, now)
            outer, policy = mime.make_entity(sealed.headers, sealed.body), AcceptancePolicy(signed=True)
            receipt_content = mdn.build(
                mdn.Mdn("a@b", mdn.PROCESSED, sealed.mic, sealed.digest, "bank", "taken")
            )

            def seal_message(content: bytes = content, layers: Layers = layers) -> None:
                seal(content, layers, us, bank_trust, now)

            def unseal_message(outer: mime.Entity = outer, policy: AcceptancePolicy = policy) -> None:
                unseal(outer, bank, us_trust, policy, now)

            def exchange_receipt(
                receipt_content: bytes = receipt_content, policy: AcceptancePolicy = policy
            ) -> None:
                answer = seal(receipt_content, Layers("sha256", ""), bank, us_trust, now)
                opened = unseal(mime.make_entity(answer.headers, answer.body), us, bank_trust, policy, now)
                mdn.parse(opened.content)

            figures = [
                _rate_per_s(work, options.seconds)
                for work in (seal_message, unseal_message, exchange_receipt)
            ]
            shares = [_crypto_share(work) for work in (seal_message, unseal_message)]
            print(
                f"{size:>8}  {name:34}  {figures[0]:>7.0f}  {figures[1]:>7.0f}  {figures[2]:>9.0f}"
                f"  {shares[0]:>10.0%}  {shares[1]:.0%}"
            )


async def _tick_delays(seconds: float, busy_work: Callable[[], Awaitable[Any]]) -> list[float]:
    """Return the delays of a 1 ms timer while the loop repeats some work; the longest first."""
    loop, delays = asyncio.get_running_loop(), list[float]()
    ends_at = loop.time() + seconds

    async def tick() -> None:
        while loop.time() < ends_at:
            due = loop.time() + 0.001
            await asyncio.sleep(0.001)
            delays.append(loop.time() - due)

    async def work() -> None:
        while loop.time() < ends_at:
            await busy_work()
            await asyncio.sleep(0)

    await asyncio.gather(tick(), work())
    return sorted(delays, reverse=True)


async def _measure_stalls(options: argparse.Namespace, folder: Path) -> None:
    for name in ("us", "bank"):
        own, both = lab.to_pem(*lab.new_certificate(name, 30))
        (folder / f"{name}.crt").write_bytes(own)
        (folder / f"{name}.pem").write_bytes(both)
    profile = As2Partner(
        name="bank", certificates=["us.crt"], compress=True
    )  # the certificate of `us`, so that the side can unseal its own messages
    config = As2(name="us", certificates=["us.pem"], partners={"bank": profile})
    profiles = build_parties(config, lambda name: folder / name)
    worker, content, now = CryptoWorker(config, folder, asyncio.create_task), _content(64 * 1024), time.time()
    layers = profiles.partners["bank"].layers
    sealed = await worker.seal(content, layers, "bank", now)
    outer = mime.make_entity(sealed.headers, sealed.body)
    print("stalls of the loop at 64 KiB, ms:")
    for name, crypto in (("in the loop", InlineCryptoService(profiles)), ("in the worker", worker)):

        async def both_ways(crypto: CryptoService = crypto) -> None:
            await crypto.seal(content, layers, "bank", now)
            await crypto.unseal(outer, "bank", AcceptancePolicy(), now)

        delays = await _tick_delays(options.seconds, both_ways)
        worst, p99, median = (delays[at] * 1e3 for at in (0, len(delays) // 100, len(delays) // 2))
        print(f"  {name}: worst {worst:.1f}, p99 {p99:.1f}, median {median:.2f}")
    worker.close()


async def _measure_stalls_and_latency(options: argparse.Namespace) -> None:
    with tempfile.TemporaryDirectory() as folder:
        await _measure_stalls(options, Path(folder))
    await _compare_payouts(options)


async def _compare_payouts(options: argparse.Namespace) -> None:
    """Measure HTTP messages through a gateway, without AS2 messages and with as many as possible."""
    from benchmarks.as2gateway import measure

    with tempfile.TemporaryDirectory() as folder:
        idle = await measure(Path(folder), options.seconds * 2, with_as2=False)
    with tempfile.TemporaryDirectory() as folder:
        full = await measure(Path(folder), options.seconds * 2, with_as2=True)
    print("milliseconds until HTTP messages are accepted, and until they are delivered:")
    for name, result in (("AS2 idle", idle), ("AS2 full", full)):
        print(
            f"  {name}: accepted p50 {result.acceptance_percentile(0.5):.1f}, "
            f"p99 {result.acceptance_percentile(0.99):.1f}; "
            f"delivered p50 {result.delivery_percentile(0.5):.1f}, "
            f"p99 {result.delivery_percentile(0.99):.1f}; "
            f"{result.http_per_s:.0f} HTTP and {result.as2_per_s:.0f} AS2 messages per second"
        )
    ratio = (
        full.acceptance_percentile(0.99) / idle.acceptance_percentile(0.99),
        full.delivery_percentile(0.99) / idle.delivery_percentile(0.99),
    )
    print(f"  ratio of p99, full to idle: accepted {ratio[0]:.2f}, delivered {ratio[1]:.2f}")


def beside(options: argparse.Namespace) -> None:
    """Measure the stalls of the event loop, and the latency of HTTP messages with and without AS2 load."""
    asyncio.run(_measure_stalls_and_latency(options))


_IDENTITIES: dict[str, OwnParty] = {}


def _play_seeds(seeds: range) -> tuple[int, Counter[str], list[str]]:
    from emberlatch.faults.as2 import run_as2_seed

    if not _IDENTITIES:
        for name in ("us", "bank", "fund", "stranger"):
            at = "http://127.0.0.1:4080/as2" if name == "us" else ""
            _IDENTITIES[name] = OwnParty("National Office" if name == "us" else name, _party(name)[0], at)
    outcome_counts: Counter[str] = Counter()
    breach_lines = []
    for seed in seeds:
        environment = run_as2_seed(seed, _IDENTITIES)
        for message in environment.messages.values():
            for _, _, result in message.completions:
                outcome_counts[result] += 1
        if environment.side is not None:
            outcome_counts["disputes"] += len(environment.side.evidence.disputes())
        outcome_counts["calls"] += sum(len(partner.received) for partner in environment.endpoints.values())
        breach_lines += [f"seed {seed}: {text}" for text in environment.breaches]
    return len(seeds), outcome_counts, breach_lines


def seeds(options: argparse.Namespace) -> None:
    """Play simulated AS2 runs, print the outcomes and the breaches, and exit with 1 if there is a breach."""
    started_at, total, breach_lines = time.monotonic(), Counter[str](), list[str]()
    last = options.first + options.count
    seed_ranges = [range(at, min(at + 20, last)) for at in range(options.first, last, 20)]
    with ProcessPoolExecutor(os.cpu_count()) as pool:
        for _, outcome_counts, lines in pool.map(_play_seeds, seed_ranges):
            total += outcome_counts
            breach_lines += lines
    took_s = time.monotonic() - started_at
    print(f"{options.count} runs in {took_s:.0f} s: {dict(total)}; breaches: {len(breach_lines)}")
    for line in breach_lines[:20]:
        print(line)
    sys.exit(bool(breach_lines))


def _fuzz(seed: int, count: int) -> tuple[Counter[str], float, bytes]:
    from tests.as2.hostile import mutated_messages, open_input, run_cms_parsers

    verdicts: Counter[str] = Counter()
    slowest, worst = 0.0, b""
    for raw in itertools.islice(mutated_messages(seed), count):
        started_at = time.perf_counter()
        verdicts[open_input(raw)] += 1
        run_cms_parsers(raw)
        if (took_s := time.perf_counter() - started_at) > slowest:
            slowest, worst = took_s, raw
    return verdicts, slowest, worst


def fuzz(options: argparse.Namespace) -> None:
    """Pass hostile inputs to the parsers; print the verdicts, the slowest input and the memory."""
    started_at = time.monotonic()
    inputs_per_process = options.count // 40
    with ProcessPoolExecutor(os.cpu_count()) as pool:
        results = list(pool.map(_fuzz, range(options.first, options.first + 40), [inputs_per_process] * 40))
    verdicts = sum((counts for counts, _, _ in results), Counter[str]())
    slowest = max(results, key=lambda result: result[1])
    print(f"{verdicts.total()} inputs in {time.monotonic() - started_at:.0f} s: {dict(verdicts)}")
    print(f"slowest {slowest[1] * 1e3:.1f} ms for {len(slowest[2])} bytes")
    tracemalloc.start()
    _fuzz(options.first, 500)
    tracemalloc.reset_peak()
    baseline_bytes = tracemalloc.get_traced_memory()[0]
    _fuzz(options.first + 1, 2000)
    now, peak = tracemalloc.get_traced_memory()
    print(
        f"memory of 2,000 inputs: {(peak - baseline_bytes) / 1e6:.2f} MB at the peak, "
        f"{(now - baseline_bytes) / 1e6:.2f} MB kept"
    )
    print(f"largest resident {resource.getrusage(resource.RUSAGE_CHILDREN).ru_maxrss / 1024:.0f} MB")


def main() -> None:
    """Parse the command line and run the chosen measurement."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("what", choices=("rate", "beside", "seeds", "fuzz"))
    parser.add_argument("--seconds", type=float, default=1.0, help="for each figure")
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--count", type=int, default=1000)
    options = parser.parse_args()
    {"rate": rate, "beside": beside, "seeds": seeds, "fuzz": fuzz}[options.what](options)


if __name__ == "__main__":
    main()

"""The crypto worker's process: reads requests from its standard input and writes responses to its output."""

from __future__ import annotations

import os
import sys

from emberlatch.as2.build import build_parties
from emberlatch.as2.crypto_frames import (
    READY,
    Request,
    Response,
    SealRequest,
    UnsealRequest,
    WorkerSettings,
    frame,
    read_frames,
)
from emberlatch.as2.crypto_service import InlineCryptoService
from emberlatch.as2.message import Opened, Sealed

NICE_INCREMENT = 5  # gives the gateway's event loop priority if both processes share a core


def main() -> None:
    """Read the settings, then serve one request after another until the input ends."""
    os.nice(NICE_INCREMENT)
    frames = read_frames(sys.stdin.buffer)
    settings = next(frames)
    assert isinstance(settings, WorkerSettings)
    service = InlineCryptoService(build_parties(settings.config, lambda name: settings.folder / name))
    _write(READY)
    for request in frames:
        assert isinstance(request, Request)
        _write(frame(Response(request.number, _result(service, request.work))))


def _result(service: InlineCryptoService, work: SealRequest | UnsealRequest) -> Sealed | Opened | Exception:
    try:
        match work:
            case SealRequest(content, layers, partner, now):
                return service.seal_now(content, layers, partner, now)
            case UnsealRequest(outer, partner, policy, now):
                return service.unseal_now(outer, partner, policy, now)
    except Exception as error:  # The process that sent the request raises it again.
        return error


def _write(data: bytes) -> None:
    sys.stdout.buffer.write(data)
    sys.stdout.buffer.flush()


if __name__ == "__main__":
    main()

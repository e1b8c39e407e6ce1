"""Samples the proxies of a deployment at a fixed interval."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from larchhaven.testbed.deployment import Deployment
from larchhaven.testbed.outcome import ProxySample
from larchhaven.testbed.proxy_process import ProxyProcess


class ProxySampler:
    """Takes samples of all running proxies.

    Args:
        deployment: The deployment whose proxies are sampled.
        interval_s: Time between two rounds of samples.
        sample_taken: Called with each sample, if given.

    Attributes:
        samples: The samples so far.
    """

    def __init__(
        self,
        deployment: Deployment,
        interval_s: float,
        sample_taken: Callable[[ProxySample], None] | None = None,
    ) -> None:
        self._deployment = deployment
        self._interval_s = interval_s
        self._sample_taken = sample_taken
        self.samples: list[ProxySample] = []

    async def run(self) -> None:
        """Take samples until cancelled."""
        while True:
            for proxy in self._deployment.proxies:
                if proxy.is_running:
                    await self._sample(proxy)
            await asyncio.sleep(self._interval_s)

    async def _sample(self, proxy: ProxyProcess) -> None:
        try:
            memory_report = await proxy.call("/v1/memory") or {}
            metrics = await proxy.call("/v1/metrics") or {}
        except (OSError, ValueError, TimeoutError):
            return  # the proxy is busy or stopping; the next round tries again
        sample = ProxySample(
            at_s=round(self._deployment.elapsed_s(), 3),
            proxy=proxy.name,
            resident_bytes=proxy.resident_bytes(),
            descriptors=proxy.count_descriptors(),
            memory_report=memory_report,
            pending_requests=metrics.get("pending", 0),
            established_connections=self._deployment.clients.established_connections,
        )
        self.samples.append(sample)
        if self._sample_taken is not None:
            self._sample_taken(sample)

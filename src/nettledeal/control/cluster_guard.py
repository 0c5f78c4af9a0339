"""Detects core machines of another cluster, and a local disk that belongs to another cluster."""

from __future__ import annotations

from pathlib import Path

from nettledeal.common.errors import ErrorCode, ServingError
from nettledeal.common.logs import log_event
from nettledeal.control.messages import Hello
from nettledeal.control.replica import Replica

MIN_REFUSING_HOSTS = 2


class ClusterGuard:
    """Checks incoming Hello messages, and refusals of this machine's own; `folder` is the data directory."""

    def __init__(self, folder: Path):
        self._folder = folder
        self._heard_own_cluster = False
        self._refusing_hosts: set[str] = set()

    def own_cluster_if_foreign(self, replica: Replica, hello: Hello) -> str | None:
        """This replica's cluster if a Hello comes from a different one, else None."""
        if replica.is_foreign(hello.record):
            log_event("foreign-cluster", host=hello.sender.host, cluster=hello.record.cluster)
            return replica.record.cluster
        if hello.record is not None:
            self._heard_own_cluster = True
        return None

    def on_refusal(self, own: str, host: str, cluster: str) -> ServingError | None:
        """The error to stop with if this machine's disk belongs to another cluster, else None.

        This is concluded once several hosts have refused the connection and no machine of the disk's own
        cluster has been heard since the start.
        """
        self._refusing_hosts.add(host)
        if self._heard_own_cluster or len(self._refusing_hosts) < MIN_REFUSING_HOSTS:
            return None
        reason = f"{self._folder}: the disk belongs to cluster {own}, the core machines here to {cluster}"
        return ServingError(ErrorCode.FOREIGN_DATA, "join cluster", reason)

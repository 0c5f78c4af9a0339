"""Loopback addresses and ports of the processes of a rig."""

from random import Random

from gevent import socket

from nettledeal.fleet.child_processes import RunAborted

AGENT_PORT, LIST_PORT, ADMIN_PORT, MEMBERSHIP_PORT = 7070, 8500, 7071, 7946
BACKEND_PORT = 9000  # the proxies of link group n listen n ports above


class LoopbackAddresses:
    """Loopback addresses of one rig. Their second octet is reserved by a bound socket."""

    def __init__(self) -> None:
        for octet in Random().sample(range(16, 250), 200):
            self.lock = socket.socket()
            try:
                self.lock.bind((f"127.{octet}.255.254", 7))
                self.octet = octet
                return
            except OSError:
                self.lock.close()
        raise RunAborted("no loopback addresses are left")

    def agent(self, index: int) -> str:
        return f"127.{self.octet}.{index // 250}.{1 + index % 250}"

    def member_proxy(self, index: int) -> str:
        """Address at which other members reach an agent through the switch."""
        return f"127.{self.octet}.{120 + index // 250}.{1 + index % 250}"

    def backend(self, index: int) -> str:
        return f"127.{self.octet}.{240 + index // 250}.{1 + index % 250}"

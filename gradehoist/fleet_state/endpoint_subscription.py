"""Subscription to the endpoint list, in deployments that require one."""

from gradehoist.actors import Actor, MessageLoop
from gradehoist.interface import EndpointListKind, EndpointsListed, SubscribeEndpoints
from gradehoist.messages import WriteOrders


class EndpointSubscription(Actor):
    """Subscribes at the start, and again each time the endpoint list could not be fetched."""

    def __init__(self, loop: MessageLoop, must_subscribe: bool) -> None:
        """Create the actor and subscribe, if the deployment requires it."""
        super().__init__(loop)
        self._must_subscribe = must_subscribe
        self._subscribe()

    def _subscribe(self) -> None:
        if self._must_subscribe:
            self.loop.publish(WriteOrders([SubscribeEndpoints(True)], proxies=[], lines=0))

    def _on_endpoints_listed(self, listed: EndpointsListed) -> None:
        if listed.kind is EndpointListKind.FAILED:
            self._subscribe()

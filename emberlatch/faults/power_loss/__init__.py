"""Runs in which the machine loses power: the real engine, journal and decision module on a simulated disk.

The runs check what a power loss can break: every message that was answered with 202 is completed, no message
takes effect more often than its category allows, and no message is reported with two different results. A
gateway that sends before it syncs breaks these rules; the same runs without durable categories show that.
"""

from emberlatch.faults.power_loss.environment import CATEGORY_NAMES, PowerLossEnvironment, play

__all__ = ["CATEGORY_NAMES", "PowerLossEnvironment", "play"]

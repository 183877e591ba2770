"""Runs in which the machine loses power: the real engine, journal and decision module on a simulated disk.

The runs check the rules that a power loss can break. Every message that was answered with 202 is completed.
No message takes effect more often than its category allows. No message is reported with two different
results. A gateway that sends a message before it syncs the journal breaks these rules. Runs without durable
categories show that.
"""

from emberlatch.faults.power_loss.environment import CATEGORY_NAMES, PowerLossEnvironment, play

__all__ = ["CATEGORY_NAMES", "PowerLossEnvironment", "play"]

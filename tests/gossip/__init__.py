"""Tests of the gossip between proxies."""

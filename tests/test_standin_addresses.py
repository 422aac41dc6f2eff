"""Addresses that the stand-ins listen on."""

from standins import serving


def test_addresses_of_one_process_differ():
    # Guards against a process that cannot listen, as two of its addresses are
    # equal: 21 of 40,000 triples that were drawn one by one.
    for _ in range(5000):
        addresses = serving.find_free_addresses("127.0.1.9", 3)
        assert len(set(addresses)) == 3

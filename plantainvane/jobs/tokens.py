"""Fencing tokens that calls to runners carry.

A runner does nothing for a call with a lower token than it has seen. Each owner
has a range of tokens above those of all earlier owners, for each runner. It
takes the next one for each life of the runner that it finds, as a call names
the runner by its id only: once the life has seen its token, calls meant for the
one before do nothing there. It also takes the next one for what follows a start
without an answer, or a poll that acknowledges ends and has none yet: a life
that has carried out a later call refuses both, however late they come.
"""

# Tokens for one runner in one ownership; three a second last for four days.
# Epochs are offsets of the claims topic, and the product stays below 2**53,
# which JSON numbers hold exactly.
TOKENS_PER_EPOCH = 2**20


def make_token(epoch: int, number: int = 0) -> int:
    """Returns the token with this number of the owner of an epoch.

    A number beyond the range is that of the last token, so that no token of a
    later owner is used.
    """
    return epoch * TOKENS_PER_EPOCH + min(number, TOKENS_PER_EPOCH - 1)


def find_epoch(token: int) -> int:
    """Returns the epoch of the owner that a token belongs to."""
    return token // TOKENS_PER_EPOCH


def is_last(token: int) -> bool:
    """Tells whether the owner of a token has none above it."""
    return token % TOKENS_PER_EPOCH == TOKENS_PER_EPOCH - 1

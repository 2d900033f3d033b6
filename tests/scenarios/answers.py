"""Computes the tokens that backend emulators produce, to verify that a response is complete."""

UINT64_MASK = (1 << 64) - 1
# Default of the backend emulator for a request without a token limit.
DEFAULT_MAX_TOKENS = 16


def _mix(value):
    value ^= value >> 30
    value = value * 0xBF58476D1CE4E5B9 & UINT64_MASK
    value ^= value >> 27
    value = value * 0x94D049BB133111EB & UINT64_MASK
    return value ^ value >> 31


def stable_hash(text, seed=0):
    """Returns the same hash as stableHash() in src/libapricot/rendezvous.h."""
    value = 0xCBF29CE484222325 ^ _mix((seed + 0x9E3779B97F4A7C15) & UINT64_MASK)
    for byte in text.encode():
        value = (value ^ byte) * 0x100000001B3 & UINT64_MASK
    return _mix(value)


def stage_tokens(kind, text, max_tokens):
    """Returns the tokens that a stage of this kind produces for an input."""
    def seeded_hash(seed):
        return stable_hash(text, stable_hash(kind, seed))

    if kind != "generate":
        return [f"{kind}:{seeded_hash(1):016x}"]
    token_limit = max_tokens or DEFAULT_MAX_TOKENS
    count = max(1, token_limit - seeded_hash(0) % (token_limit // 2 + 1))
    return [f"{seeded_hash(index + 1):016x}"[:6] + " " for index in range(count)]


def pipeline_tokens(stages, text):
    """Returns the tokens of the last stage; the result of each stage is the input of the next."""
    tokens = []
    for stage in stages:
        tokens = stage_tokens(stage["kind"], text, stage.get("max_tokens", 64))
        text = "".join(tokens)
    return tokens

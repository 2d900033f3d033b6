"""The answers that backend emulators give, worked out again so that a whole answer can be recognised."""

MASK = (1 << 64) - 1
DEFAULT_TOKENS = 16


def _mix(value):
    value ^= value >> 30
    value = value * 0xBF58476D1CE4E5B9 & MASK
    value ^= value >> 27
    value = value * 0x94D049BB133111EB & MASK
    return value ^ value >> 31


def stable_hash(text, seed=0):
    """The hash of libapricot/rendezvous."""
    value = 0xCBF29CE484222325 ^ _mix((seed + 0x9E3779B97F4A7C15) & MASK)
    for byte in text.encode():
        value = (value ^ byte) * 0x100000001B3 & MASK
    return _mix(value)


def answer_tokens(kind, text, max_tokens):
    """Tokens that one stage of this kind gives for an input."""
    def digest(seed):
        return stable_hash(text, stable_hash(kind, seed))

    if kind != "generate":
        return [f"{kind}:{digest(1):016x}"]
    most = max_tokens or DEFAULT_TOKENS
    count = max(1, most - digest(0) % (most // 2 + 1))
    return [f"{digest(index + 1):016x}"[:6] + " " for index in range(count)]


def pipeline_answer(stages, text):
    """Tokens of a pipeline's last stage; the result of each stage is the input of the next."""
    tokens = []
    for stage in stages:
        tokens = answer_tokens(stage["kind"], text, stage.get("max_tokens", 64))
        text = "".join(tokens)
    return tokens

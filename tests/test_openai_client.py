"""Guards against responses that the openai client library rejects.

The unmodified library must read unstreamed and streamed answers and
raise its own exception types for refusals.
"""

import openai
import pytest

from tests.standins.platform import DESK_KEY, MODEL

EXPECTED_TEXT = "".join(f"w{n} " for n in range(12))
MESSAGE = {"role": "user", "content": "a reorder letter"}


@pytest.fixture
def client(address: str) -> openai.AsyncOpenAI:
    return openai.AsyncOpenAI(
        api_key=DESK_KEY, base_url=f"http://{address}/v1", max_retries=0
    )


async def test_unstreamed_chat_returns_whole_text(
    client: openai.AsyncOpenAI,
) -> None:
    answer = await client.chat.completions.create(
        model=MODEL, messages=[MESSAGE]
    )
    assert answer.choices[0].message.content == EXPECTED_TEXT
    assert answer.usage.completion_tokens == 12


async def test_streamed_chat_returns_whole_text_and_finish_reason(
    client: openai.AsyncOpenAI,
) -> None:
    stream = await client.chat.completions.create(
        model=MODEL, messages=[MESSAGE], stream=True
    )
    chunks = [chunk async for chunk in stream if chunk.choices]
    texts = [chunk.choices[0].delta.content or "" for chunk in chunks]
    assert "".join(texts) == EXPECTED_TEXT
    assert chunks[-1].choices[0].finish_reason == "stop"


async def test_plain_completion_returns_whole_text_unstreamed_and_streamed(
    client: openai.AsyncOpenAI,
) -> None:
    whole = await client.completions.create(model=MODEL, prompt="a letter")
    assert whole.choices[0].text == EXPECTED_TEXT
    stream = await client.completions.create(
        model=MODEL, prompt="a letter", stream=True
    )
    texts = [c.choices[0].text async for c in stream if c.choices]
    assert "".join(texts) == EXPECTED_TEXT


async def test_refusals_raise_the_client_library_s_exceptions(
    client: openai.AsyncOpenAI,
) -> None:
    with pytest.raises(openai.NotFoundError) as error:
        await client.chat.completions.create(model="x", messages=[MESSAGE])
    assert error.value.code == "unknown_model"
    stranger = client.with_options(api_key="wrong")
    with pytest.raises(openai.AuthenticationError):
        await stranger.chat.completions.create(
            model=MODEL, messages=[MESSAGE], stream=True
        )

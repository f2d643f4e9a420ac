"""Send one chat request and show the answer and its version."""

import json
import sys
from urllib import request as http

URL = 'http://127.0.0.1:7000/v1/chat/completions'


def ask(key: str, request_class: str, text: str) -> None:
    """Print the version that ran and the begin of its answer."""
    body = {'messages': [{'role': 'user', 'content': text}], 'max_tokens': 20}
    request = http.Request(
        URL,
        json.dumps(body).encode(),
        {
            'Authorization': f'Bearer {key}',
            'Content-Type': 'application/json',
            'X-Bamboodeck-Class': request_class,
        },
    )
    with http.urlopen(request, timeout=30) as answer:
        version = answer.headers['X-Bamboodeck-Version']
        content = json.load(answer)
    text = content['choices'][0]['message']['content']
    sys.stdout.write(f'{version}: {text[:70]}...\n')
    sys.stdout.write(f'usage: {content["usage"]}\n')


if __name__ == '__main__':
    ask(*sys.argv[1:4])

Feature: Hash chains of prompt prefixes

  Guards against cached blocks that match a prompt of another tenant, model, weight version or adapter,
  and against a chain cache that returns other hashes, grows without bound or hashes prompts twice.

  Scenario: Prompts that share a prefix share exactly its blocks
    Given two prompts that share 640 bytes and then differ
    When both prompts are hashed in blocks of 64 bytes
    Then exactly the first 10 block hashes are equal

  Scenario Outline: A chain differs as soon as its identity differs
    Given a prompt hashed for tenant "bole-school", model "qalam", version "v1" and adapter "none"
    When the prompt is hashed for tenant "<tenant>", model "<model>", version "<version>" and adapter "<adapter>"
    Then no block hash is equal

    Examples:
      | tenant        | model | version | adapter |
      | kirkos-school | qalam | v1      | none    |
      | bole-school   | other | v1      | none    |
      | bole-school   | qalam | v2      | none    |
      | bole-school   | qalam | v1      | amharic |

  Scenario: A chain from the cache equals the computed chain, within bounded memory
    Then cached chains equal computed chains for any nested prompts, block sizes and seeds
    And a chain cache of 20000 bytes stays within its size after 4 MB of prompts

  Scenario: A chain cache does not hash a prompt twice
    Given a prompt of 1000000 bytes in a chain cache
    When the prompt is extended by 5000 bytes and its chain is requested again
    Then fewer than 400 blocks are hashed

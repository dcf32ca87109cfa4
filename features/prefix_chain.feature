Feature: Identity of prompt prefixes
  Scenario: Prompts that share a prefix share exactly its blocks
    Given two prompts that share 640 bytes and then differ
    When both are hashed in blocks of 64 bytes
    Then exactly the first 10 block hashes are equal

  Scenario Outline: A chain differs as soon as its identity differs
    Given a prompt hashed for tenant "bole-school", model "qalam", version "v1" and adapter "none"
    When it is hashed for tenant "<tenant>", model "<model>", version "<version>" and adapter "<adapter>"
    Then no block hash is equal

    Examples:
      | tenant        | model | version | adapter |
      | kirkos-school | qalam | v1      | none    |
      | bole-school   | other | v1      | none    |
      | bole-school   | qalam | v2      | none    |
      | bole-school   | qalam | v1      | amharic |

  Scenario: A chain read from the cache equals the one hashed, within bounded memory
    Then cached chains equal hashed ones for any nested prompts, block sizes and seeds
    And a chain cache of 20000 bytes stays within them after 4 MB of prompts

  Scenario: A chain cache does not hash a prompt twice
    Given a prompt of 1000000 bytes in a chain cache
    When the prompt is extended by 5000 bytes and asked for again
    Then fewer than 400 blocks are hashed

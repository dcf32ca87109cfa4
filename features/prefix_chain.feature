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

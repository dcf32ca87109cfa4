Feature: Import from a store of kept KV cache

  Guards against imports that take longer than computing the prefix, and against a store that is
  still asked for every prompt although its imports bring nothing.

  Scenario Outline: A prefix is <decision> when <case>
    Given a kept-KV store of <bandwidth> tokens a second and an idle engine with <cached> of 1000 blocks cached
    And served prompts that share <kept> blocks
    When an engine is chosen for the prompt
    Then the choice imports up to block <imported>

    Examples:
      | decision | case                             | bandwidth | cached | kept | imported |
      | imported | the store is faster              | 100000    | 0      | 1000 | 1000     |
      | imported | the store keeps a part of it     | 100000    | 0      | 600  | 512      |
      | imported | the engine has less of it cached | 100000    | 400    | 1000 | 1000     |
      | computed | the engine has as much cached    | 100000    | 1000   | 1000 | 0        |
      | computed | the store keeps nothing of it    | 100000    | 0      | 0    | 0        |
      | computed | the engine is faster             | 7000      | 0      | 1000 | 0        |
      | computed | the import would take too long   | 60000     | 0      | 1000 | 0        |

  Scenario: A store whose imports bring nothing is soon tried only at intervals
    Given a kept-KV store of 100000 tokens a second and an idle engine with 0 of 1000 blocks cached
    And served prompts that share 1000 blocks
    When 10 imports have brought nothing
    And an engine is chosen for the prompt
    Then the choice imports up to block 0
    When 31 seconds have passed
    And an engine is chosen for the prompt
    Then the choice imports up to block 1000
    When 10 imports have brought everything
    And an engine is chosen for the prompt
    Then the choice imports up to block 1000

Feature: Import from a store of kept KV cache
  Scenario Outline: A prefix is <decision> when <case>
    Given a kept-KV store of <bandwidth> tokens a second and an idle engine that holds <held> of 1000 blocks
    And prompts that share <kept> blocks have been served
    When the prompt is chosen for
    Then it imports up to block <imported>

    Examples:
      | decision | case                             | bandwidth | held | kept | imported |
      | imported | the store is faster              | 100000    | 0    | 1000 | 1000     |
      | imported | a part of it is kept             | 100000    | 0    | 600  | 512      |
      | imported | the engine holds less of it      | 100000    | 400  | 1000 | 1000     |
      | computed | the engine holds as much         | 100000    | 1000 | 1000 | 0        |
      | computed | nothing of it is kept            | 100000    | 0    | 0    | 0        |
      | computed | the engine is faster             | 7000      | 0    | 1000 | 0        |
      | computed | the import would take too long   | 60000     | 0    | 1000 | 0        |

  Scenario: A store that gives nothing is soon asked only now and then
    Given a kept-KV store of 100000 tokens a second and an idle engine that holds 0 of 1000 blocks
    And prompts that share 1000 blocks have been served
    When 10 imports brought nothing
    And the prompt is chosen for
    Then it imports up to block 0
    When 31 seconds have passed
    And the prompt is chosen for
    Then it imports up to block 1000
    When 10 imports brought everything
    And the prompt is chosen for
    Then it imports up to block 1000

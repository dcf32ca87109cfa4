Feature: Notes of sends between nodes
  Scenario Outline: A note is told <case>
    Given 3 nodes that tell one another of sends with <budget> bytes a second
    When one sends <count> prompts of 2000 blocks that miss <missing> tokens
    Then the others have noted <noted> sends and <unsent> were not told

    Examples:
      | case                      | budget | count | missing | noted | unsent |
      | of work for an engine     | 100000 | 5     | 4000    | 5     | 0      |
      | not of little work        | 100000 | 5     | 100     | 0     | 0      |
      | as far as the budget goes | 500    | 5     | 4000    | 2     | 3      |

  Scenario: A noted prompt is matched as deep as it is shared
    Given 3 nodes that tell one another of sends with 100000 bytes a second
    When one sends 1 prompts of 2000 blocks that miss 4000 tokens
    Then the others match a prompt that shares 1000 blocks between 800 and 1000 deep
    And the others match the same prompt 2000 deep
    And the others count 4000 tokens at the engine, 2000 after 0.25 seconds
    And after 7 seconds they match nothing

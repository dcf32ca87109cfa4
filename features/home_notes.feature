Feature: Send notices between nodes

  Guards against nodes that choose engines without regard to requests that other nodes have just sent,
  and against send notices beyond their byte budget.

  Scenario Outline: A send is announced <case>
    Given 3 nodes that announce sends to one another with <budget> bytes a second
    When one node sends <count> prompts of 2000 blocks with <missing> uncached tokens
    Then the other nodes have recorded <recorded> sends and <unsent> were not announced

    Examples:
      | case                      | budget | count | missing | recorded | unsent |
      | with much prefill work    | 100000 | 5     | 4000    | 5        | 0      |
      | not with little work      | 100000 | 5     | 100     | 0        | 0      |
      | within the byte budget    | 500    | 5     | 4000    | 2        | 3      |

  Scenario: A recorded prompt matches as many blocks as are shared
    Given 3 nodes that announce sends to one another with 100000 bytes a second
    When one node sends 1 prompts of 2000 blocks with 4000 uncached tokens
    Then the other nodes match between 800 and 1000 blocks of a prompt that shares 1000 blocks
    And the other nodes match 2000 blocks of the same prompt
    And the other nodes count 4000 waiting tokens at the engine, and 2000 after 0.25 seconds
    And after 7 seconds the other nodes match no blocks

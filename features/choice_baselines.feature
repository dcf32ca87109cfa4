Feature: Baseline policies of engine choice
  Scenario Outline: Excluded and full engines are not chosen
    Given choice policy "<policy>" and engines
      | engine | outstanding | most |
      | e1     | 0           | 8    |
      | e2     | 8           | 8    |
      | e3     | 3           | 8    |
    When 50 different prompts are chosen for with "e1" excluded
    Then every choice is "e3"

    Examples:
      | policy             |
      | random             |
      | least_outstanding  |
      | rendezvous_bounded |
      | approximate_tree   |
      | prefix_aware       |

  Scenario Outline: Without any candidate nothing is chosen
    Given choice policy "<policy>" and engines
      | engine | outstanding | most |
      | e1     | 0           | 8    |
    When 1 different prompts are chosen for with "e1" excluded
    Then every choice is nothing

    Examples:
      | policy             |
      | random             |
      | least_outstanding  |
      | rendezvous_bounded |
      | approximate_tree   |
      | prefix_aware       |

  Scenario: Least outstanding chooses by share of capacity
    Given choice policy "least_outstanding" and engines
      | engine | outstanding | most |
      | e1     | 4           | 8    |
      | e2     | 5           | 64   |
    When 5 different prompts are chosen for with "none" excluded
    Then every choice is "e2"

  Scenario Outline: A prompt stays with its engine until that is loaded above the bound
    Given choice policy "rendezvous_bounded" and engines
      | engine | outstanding | most |
      | e1     | <load_1>    | 64   |
      | e2     | <load_2>    | 64   |
    When one prompt is chosen for whose first rank is "e1"
    Then every choice is "<engine>"

    Examples:
      | load_1 | load_2 | engine |
      | 0      | 0      | e1     |
      | 5      | 4      | e1     |
      | 9      | 1      | e2     |

  Scenario Outline: The approximate tree follows its own past choices while loads are balanced
    Given choice policy "approximate_tree" and engines
      | engine | outstanding | most |
      | e1     | <load_1>    | 64   |
      | e2     | 0           | 64   |
    And one prompt was sent to "e1"
    When the same prompt is chosen for again
    Then every choice is "<engine>"

    Examples:
      | load_1 | engine |
      | 0      | e1     |
      | 8      | e1     |
      | 9      | e2     |

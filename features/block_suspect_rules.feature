Feature: Blocks are blamed for crashes only if no answer and no better explanation speaks for them

  Scenario Outline: Which blocks are considered the cause
    Given a tracker of the blocks with which back ends crashed
    When it is told "<events>"
    Then it blames "<groups>"

    Examples: "a,d@1" is a crash of run 1 under a new request with blocks a and d, with "+" if a crash with one of them was known; "ok:a" is an answer, "before:a" one before the crashes
      | events                                                        | groups  |
      | a,d@1 a,d@2+ a,d@3+ a,d@4+                                    |         |
      | a,d@1 a,d@2+ a,d@3+ a,d@4+ a,d@5+                             | a+d     |
      | a,d@1 a,d@2 a,d@3 a,d@4 a,d@5                                 |         |
      | a,d@1 a,d@1+ a,d@1+ a,d@1+ a,d@1+                             |         |
      | before:a a,d@1 a,d@2+ a,d@3+ a,d@4+ a,d@5+                    | a+d     |
      | a,d@1 before:a a,d@2+ a,d@3+ a,d@4+ a,d@5+                    | d       |
      | a,d@1 a,d@2+ ok:a a,d@3+ a,d@4+ a,d@5+                        | d       |
      | a,d@1 a,d@2+ a,d@3+ a,d@4+ a,d@5+ ok:a                        | d       |
      | a,d@1 a,d@2+ a,d@3+ a,d@4+ a,d@5+ ok:d                        | a       |
      | a,d@1 a,d@2+ a,d@3+ a,d@4+ b,d@5+                             | d       |
      | a,d@1 a,d@2+ a,d@3+ a,d@4+ a,d@5+ b,d@6+                      | d       |
      | a,d@1 b,d@2+ c,d@3+ a,d@4+ b,d@5+ ok:d                        |         |
      | a,d@1 a,d@2+ a,d@3+ a,d@4+ a,d@5+ b,e@6 b,e@7+ b,e@8+ b,e@9+ b,e@10+ | a+d b+e |
      | a,d@1 before:a before:d a,d@2+ a,d@3+ a,d@4+ a,d@5+           | a+d     |
      | a,d@1 before:a a,d@2+ a,d@3+ a,d@4+ a,d@5+ a@6+ a@7+          | d       |
      | a,d@1 before:a a,d@2+ a,d@3+ a,d@4+ a,d@5+ a@6+ a@7+ a@8+     | a d     |

  Scenario: A single request that crashes back ends blames none of its blocks
    Given a tracker of the blocks with which back ends crashed
    When it is told 6 crashes under one request with blocks "a,d"
    Then it blames ""

  Scenario: An answer to one block of a group leaves the others refused
    Given a node that refuses requests with the blocks "a,d" after 5 crashes
    When a request with the block "a" is answered
    Then requests with the blocks "b,d" are refused for "d"
    And requests with the blocks "a" are not refused
    And "blocks_released" and then "blocks_quarantined" are logged

  Scenario: An answer that another node tells ends a quarantine
    Given a node that refuses requests with the blocks "a,d" after 5 crashes
    When another node tells of answers with the blocks "a,d"
    Then requests with the blocks "a,d" are not refused

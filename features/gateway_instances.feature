Feature: Nothing meant for one incarnation, one version or an earlier state reaches another

  Scenario: A request for a back end whose address has passed to another is not run there
    Given two back ends, of which the first's address has passed to another service unnoticed
    When 6 requests are sent
    Then all are answered by the second back end
    And the process at the first's address ran none of them

  Scenario: A generation for weights that a runner no longer has is not run there
    Given two runners, of which the first has taken new weights unnoticed
    When 6 requests are sent
    Then no run was over a scope of other weights than its runner had

  Scenario: One refusal for other weights teaches all nodes
    Given 3 nodes and 2 runners, all of which have taken new weights unnoticed
    When 30 generations that may be sent once are sent to the nodes in turn
    Then at most 2 of them met a refusal
    And the 20 latest were answered

  Scenario: An order for an incarnation that is gone changes nothing at the next one
    Given a runner whose address has passed to its next incarnation
    When an order meant for the earlier incarnation is given
    Then it is answered with "wrong_instance" and no order was taken

  Scenario Outline: What arrives late never takes knowledge back
    Given a node's knowledge at revision 10 with configuration 5, weights 3 and a leaving back end
    When "<change>" arrives with revision <revision>
    Then it knows configuration <configuration>, weights <weights> and a back end that is "<state>"

    Examples:
      | change                 | revision | configuration | weights | state   |
      | configuration 6        | 11       | 6             | 3       | leaving |
      | configuration 4        | 11       | 5             | 3       | leaving |
      | configuration 6        | 4        | 5             | 3       | leaving |
      | weights 4              | 11       | 5             | 4       | leaving |
      | weights 2              | 11       | 5             | 3       | leaving |
      | the back end as ready  | 9        | 5             | 3       | leaving |
      | the back end as ready  | 11       | 5             | 3       | ready   |
      | the back end as gone   | 11       | 5             | 3       | gone    |
      | the back end as gone   | 8        | 5             | 3       | leaving |

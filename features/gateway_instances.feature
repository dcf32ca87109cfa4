Feature: Requests, orders and changes for one run, one version or an earlier state do not affect another

  Scenario: A request for a back end whose address now belongs to another is not run there
    Given two back ends, of which the first's address now belongs to another service unnoticed
    When 6 requests are sent
    Then all requests are answered by the second back end
    And the process at the first's address ran none of the requests

  Scenario: A generation request for weights that an engine no longer has is not run there
    Given two engines, of which the first has loaded new weights unnoticed
    When 6 requests are sent
    Then no request ran with the cache scope of weights that its engine did not have

  Scenario: One refusal because of other weights informs all nodes
    Given 3 nodes and 2 engines, all of which have loaded new weights unnoticed
    When 30 generation requests that allow one attempt are sent to the nodes in turn
    Then at most 2 of them were refused
    And the last 20 were answered

  Scenario: An order for an ended run of an engine has no effect on the next run
    Given an engine whose address now belongs to its next run
    When an order for the earlier run is sent
    Then the order is answered with "wrong_instance" and no order was accepted

  Scenario Outline: A change that arrives late never reverts newer state
    Given a node's state at revision 10 with configuration 5, weights 3 and a leaving back end
    When "<change>" arrives with revision <revision>
    Then the node has configuration <configuration>, weights <weights> and a back end that is "<state>"

    Examples:
      | change                  | revision | configuration | weights | state   |
      | configuration 6         | 11       | 6             | 3       | leaving |
      | configuration 4         | 11       | 5             | 3       | leaving |
      | configuration 6         | 4        | 5             | 3       | leaving |
      | weights 4               | 11       | 5             | 4       | leaving |
      | weights 2               | 11       | 5             | 3       | leaving |
      | the back end as ready   | 9        | 5             | 3       | leaving |
      | the back end as ready   | 11       | 5             | 3       | ready   |
      | the back end as removed | 11       | 5             | 3       | removed |
      | the back end as removed | 8        | 5             | 3       | leaving |

Feature: Policies compared in virtual time
  Scenario Outline: On <deployment> beliefs come near the oracle and beat affinity
    When the policies are compared on "<deployment>" for 60 virtual seconds at 0.4 of the load
    Then "prefix_aware" hits at least 0.9 of what "oracle" hits
    And "prefix_aware" hits more and has a lower p99 than "rendezvous_bounded"

    Examples:
      | deployment |
      | tsehay     |
      | startgrid  |

  Scenario: The same seed gives the same figures
    When the policies are compared on "tsehay" for 35 virtual seconds at 0.4 of the load
    And they are compared again
    Then both comparisons are equal but for their wall time

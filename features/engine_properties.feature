Feature: Invariants of the engine model under any order of calls

  Scenario: Memory, counts and events of an engine agree after any calls, cancellations and crashes
    When 150 generated sequences of calls are played to engine models
    Then memory is never exceeded and the published events always lead to the blocks held
    And after the last request no memory is reserved and nothing waits

Feature: Invariants of the engine model under any order of calls
  Guards against reservations that leak or exceed the memory, and against cache events that do not
  match the blocks held, after cancellations, crashes and loads at any time.

  Scenario: Memory, counts and events of an engine agree after any calls, cancellations and crashes
    When 150 generated sequences of calls are applied to engine models
    Then memory is never exceeded and the published events always lead to the blocks held
    And after the last request no memory is reserved and no request waits

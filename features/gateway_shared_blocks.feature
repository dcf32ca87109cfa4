Feature: A prompt block that crashes back ends is quarantined at all nodes

  Back ends crash as they begin to write an answer to any prompt that has the block. No two requests
  are alike; sound ones have the same caller and the same other blocks.

  Scenario: Requests that share one prompt block do not crash back end after back end
    Given 7 nodes and 9 back ends that crash on a prompt block
    When callers send 30 sound requests a second for 40 seconds
    And 3 requests a second have the fatal block from second 5 on
    Then at most 3 requests with it reach back ends from 3 seconds after the fifth crash on
    And sound requests are then answered at least half as often as before

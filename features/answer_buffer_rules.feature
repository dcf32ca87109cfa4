Feature: A node that holds too much of its answers discards the largest, which never looks complete

  # Guards against an answer of another back end that is cut, and against one that is cut and looks complete,
  # because a back end in trouble sends bytes without end.
  Scenario: The largest answer is discarded, and those of usual size are complete
    Given a node that holds at most 1000 bytes of answers
    When answers of 100, 300 and 900 bytes arrive in turns of 10 bytes
    Then the answer of 900 bytes is broken as too large, and the others are complete
    And nothing is held at the end

  Scenario: A whole answer that was discarded after its last part is broken
    Given a node that holds at most 1000 bytes of answers
    When an answer of 600 bytes waits for its end while one of 500 bytes arrives
    Then the answer of 600 bytes is broken as too large, and the other is complete

  Scenario: A stream whose incomplete event was discarded after its last part is broken
    Given a node that holds at most 1000 bytes of answers
    When a stream waits for its end inside an event of 600 bytes while an answer of 500 bytes arrives
    Then the stream is broken as too large after its whole events, and the other is complete

  Scenario: An event that is too large is broken after the events before it, so that it can be taken up there
    Given a node that holds at most 100000000 bytes of answers
    When a stream has 3 events and then one without end
    Then the stream is broken as too large after its whole events
    And the id of the last relayed event is "3"

Feature: The transport keeps connections to one server, and no byte of one answer reaches another

  Scenario Outline: Two requests in a row to a server that <does>
    Given a server that "<does>"
    When two requests are sent to it, one after the other
    Then they get "<first>" and "<second>" over <connections> connections

    Examples:
      | does                                       | first       | second      | connections |
      | answers with a length                      | answer 1    | answer 2    | 1           |
      | answers in chunks                          | answer 1    | answer 2    | 1           |
      | answers one byte at a time                 | answer 1    | answer 2    | 1           |
      | tells first that it goes on                | answer 1    | answer 2    | 1           |
      | answers before it reads the body           | answer 1    | answer 2    | 1           |
      | closes after each answer and says so       | answer 1    | answer 2    | 2           |
      | closes after each answer without a word    | answer 1    | answer 2    | 2           |
      | resets after each answer                   | answer 1    | answer 2    | 2           |
      | answers without a length and closes        | answer 1    | answer 2    | 2           |
      | answers twice at once                      | answer 1    | answer 2    | 2           |
      | answers twice, the second time later       | answer 1    | answer 2    | 2           |
      | breaks the first answer off                | broken      | answer 2    | 2           |
      | breaks a chunk of the first answer off     | broken      | answer 2    | 2           |
      | resets instead of the first answer         | ReadError   | answer 2    | 2           |
      | closes instead of the first answer         | RemoteProtocolError | answer 2 | 2      |
      | sends no HTTP the first time               | RemoteProtocolError | answer 2 | 2      |
      | is silent the first time                   | ReadTimeout | answer 2    | 2           |
      | falls silent in the first answer           | ReadTimeout | answer 2    | 2           |

  Scenario: A body that the server does not take is given up in time
    Given a server that "reads nothing"
    When a request of 32 MB is sent to it
    Then it ends with "WriteTimeout" and its connection is closed

  Scenario: Nothing is sent where nobody listens
    Given an address where nobody listens
    When a request is sent to it
    Then it ends with "ConnectError", which proves that it was never sent

  # The store's connections were reset while a node made a new one. The event loop had given the socket
  # up, anyio asked None for the peer's name, and the error went through the task that read the store to
  # the top: the process ended by itself.
  Scenario: A connection that is reset as it is made is an error like any other
    Given a server that "answers with a length"
    When a connection to it is reset as it is made
    Then the request was never sent, the connection is closed, and the next request is answered

  Scenario: No more connections than allowed are in use, and waiting for one proves that nothing was sent
    Given a server that "answers when told"
    When three requests are sent at once over two connections
    Then one ends with "PoolTimeout", which proves that it was never sent
    And the two others are answered once the server is told, over 2 connections

  Scenario: A place is free again after every kind of end
    Given a server that "answers when told"
    When forty requests over two connections are left, some before and some in their answer
    Then two more requests can be sent at once

  Scenario Outline: A connection whose answer is not wanted any more is closed at once: <left>
    Given a server that "answers when told"
    When a request is left "<left>"
    Then the server sees its connection end within 0.2 seconds

    Examples:
      | left                    |
      | by cancellation         |
      | after the head          |
      | after a part of the body |
      | by closing the transport |

  Scenario: A connection that was unused for too long is closed and not used
    Given a server that "answers with a length"
    When two requests are sent to it 0.3 seconds apart by a transport that keeps connections for 0.1
    Then they get "answer 1" and "answer 2" over 2 connections
    And the server saw the first connection end before the second request

  Scenario: Answers that arrive in any pieces are whole
    Given 200 answers drawn at random, each cut into random pieces
    When they are read over one connection
    Then each body is as it was sent

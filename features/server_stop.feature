Feature: A stop closes connections that wait, and no request with them

  # In one of nine soaks a caller lost its request as a node stopped: it had come over a kept
  # connection at the end of the node's notice, was sent on and ran, and its connection was closed
  # 19 ms later. The server finds idle connections some turns of its event loop before it closes
  # them. Evidence: of 200 requests sent so many turns after the beginning of a stop, all that were
  # sent 2 to 8 turns after it were begun, and none was answered.
  Scenario Outline: Requests sent some turns after a stop has begun are answered whole or never begun
    Given a server with 20 kept connections on the event loop "<loop>"
    When it is stopped, and after each number of turns from 0 to 12 a request comes on each
    Then each request that was begun has its whole answer
    And some were begun, and some never

    Examples:
      | loop    |
      | uvloop  |
      | asyncio |

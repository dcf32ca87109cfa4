Feature: A node under most new connections serves what it has read, and closes the rest unread

  The platform may send most new connections to one node. A connection that is closed unread counts
  as no attempt if another node reads the next try, so it is the cheapest way to shed load.

  Scenario Outline: New connections are closed while a long queue of them stays
    Given a listener whose queue is watched
    When its queue is "<queue>" at successive ticks
    Then new connections are closed: <closed>

    Examples: "-" is a short queue, "+" a long one
      | queue             | closed |
      | - - - - - -       | no     |
      | + + +             | no     |
      | + + + - + + +     | no     |
      | + + + +           | yes    |
      | + + + + - - -     | yes    |
      | + + + + - - - + - | yes    |
      | + + + + - - - -   | no     |

  Scenario: A waiting connection is closed without a byte read
    Given a listener whose queue is watched
    When 20 callers connect and send a request, and nobody accepts them for 0.5 seconds
    Then each connection is reset
    And "connections_shed" is logged, and 20 connections are counted

  Scenario: Under three times the new connections that it can serve, a process answers what it reads
    Given a server that works for 10 milliseconds on each request, one at a time
    When 60 new connections a second arrive for 2 seconds, then 300 a second for 4 seconds
    Then each request that was read is answered
    And at least three quarters of those read are answered within 0.6 seconds, as before
    And at least 60 a second are read, as before
    And some connections were closed unread, none before the load grew

Feature: Work that may run only once
  What a caller is told about an order, and how often it runs, whatever fails between.

  Background:
    Given a fleet of 2 VMs and a log

  Scenario: A caller repeats an order through another VM
    When an order with key "k" is sent to VM 1
    And its claim is appended
    And the target answers
    And an order with key "k" is sent to VM 2
    And everything on its way to the log arrives
    And VM 2 reads the log
    Then the last caller is told "done"
    And the work of "k" ran 1 time

  Scenario: An append takes effect but its answer is lost
    When an order with key "k" is sent to VM 1
    And its claim is appended but the answer is lost
    And VM 1 reads the log
    And the target answers
    Then the last caller is told "answer"
    And the work of "k" ran 1 time

  Scenario: The log is down
    When an order with key "k" is sent to VM 1
    And the log refuses the append
    Then the last caller is told "not-run"
    And the work of "k" ran 0 times

  Scenario: An append is lost, the log stays silent, and the caller tries again later
    When an order with key "k" is sent to VM 1
    And its claim is appended but the answer is lost
    And 6 seconds pass
    Then the last caller is told "not-run"
    When everything on its way to the log arrives
    And an order with key "k" is sent to VM 2
    And its claim is appended
    And VM 2 reads the log
    And the target answers
    Then the last caller is told "answer"
    And the work of "k" ran 1 time

  Scenario: A holder is paused past its start deadline and wakes up
    When an order with key "k" is sent to VM 1
    And VM 1 is paused
    And its claim is appended
    And 7 seconds pass
    And VM 1 wakes up
    Then the last caller is told "not-run"
    And the work of "k" ran 0 times

  Scenario: A VM is lost after it has sent an order
    When an order with key "k" is sent to VM 1
    And its claim is appended
    And the target runs it but the answer is lost with VM 1
    And an order with key "k" is sent to VM 2
    And its claim is appended
    And VM 2 reads the log
    Then the last caller is told "unknown"
    And the work of "k" ran 1 time

  Scenario: The log fails and a VM is lost, one after the other
    When an order with key "k" is sent to VM 1
    And its claim is appended but the answer is lost
    And VM 1 is replaced
    And an order with key "k" is sent to VM 2
    And its claim is appended
    And VM 2 reads the log
    Then the last caller is told "unknown"
    And the work of "k" ran 0 times

  Scenario: The target refuses an order before it starts
    When an order with key "k" is sent to VM 1
    And its claim is appended
    And the target refuses it
    And the target answers
    Then the last caller is told "answer"
    And the work of "k" ran 1 time

  Scenario: An answer comes back cut
    When an order with key "k" is sent to VM 1
    And its claim is appended
    And the target runs it but the answer is cut
    Then the last caller is told "unknown"
    And the work of "k" ran 1 time

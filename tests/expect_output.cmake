# Runs PROGRAM with ARGUMENT and fails unless it exits with 0 and prints exactly the file EXPECTED.
execute_process(COMMAND "${PROGRAM}" "${ARGUMENT}" OUTPUT_VARIABLE output RESULT_VARIABLE result)
file(READ "${EXPECTED}" expected)
if(NOT result EQUAL 0)
  message(FATAL_ERROR "${ARGUMENT}: exit code ${result}")
endif()
if(NOT output STREQUAL expected)
  message(FATAL_ERROR "${ARGUMENT} prints:\n${output}\nExpected:\n${expected}")
endif()

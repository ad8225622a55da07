cmake_minimum_required(VERSION 3.25)

# Writes OUTPUT, a header with VERSION and the commit of SOURCE ("-changed" with uncommitted
# changes; "unknown" without Git), unless it is up to date.
find_package(Git QUIET)
set(commit unknown)
if(GIT_FOUND)
  execute_process(COMMAND ${GIT_EXECUTABLE} describe --always --abbrev=12 --exclude=* --dirty=-changed
    WORKING_DIRECTORY ${SOURCE} OUTPUT_VARIABLE described RESULT_VARIABLE failed
    OUTPUT_STRIP_TRAILING_WHITESPACE ERROR_QUIET)
  if(NOT failed)
    set(commit ${described})
  endif()
endif()
file(CONFIGURE OUTPUT ${OUTPUT} @ONLY CONTENT
"#define TILLERHALL_VERSION \"@VERSION@\"
#define TILLERHALL_COMMIT \"@commit@\"
")
